package store

// Bounds of one transaction, as the platform publishes them.
const (
	// MaxTransactionOperations is how many operations one transaction may hold.
	MaxTransactionOperations = 64
	// MaxTransactionBytes is the largest encoded size of one transaction.
	MaxTransactionBytes = 512 << 10
	// MaxValueBytes is the size of the largest value. It is lower than
	// MaxTransactionBytes because a transaction encodes values in base64.
	MaxValueBytes = 360 << 10
)

// operationOverheadBytes is the allowance for the encoded field names of one
// operation.
const operationOverheadBytes = 128

// EncodedSize estimates how many bytes the operation takes in an encoded
// transaction, in which values are written in base64. The estimate is never too low.
func (o Operation) EncodedSize() int {
	const base64Numerator, base64Denominator = 4, 3
	value := (len(o.Value) + base64Denominator - 1) / base64Denominator * base64Numerator
	return operationOverheadBytes + len(o.Key) + value
}

// CheckTransactionSize returns ErrTooLarge if the operations exceed
// MaxTransactionOperations or MaxTransactionBytes.
func CheckTransactionSize(operations []Operation) error {
	if len(operations) > MaxTransactionOperations {
		return ErrTooLarge.New("%d operations exceed the limit of %d", len(operations), MaxTransactionOperations)
	}
	total := 0
	for _, operation := range operations {
		total += operation.EncodedSize()
	}
	if total > MaxTransactionBytes {
		return ErrTooLarge.New("a transaction of %d bytes exceeds the limit of %d", total, MaxTransactionBytes)
	}
	return nil
}
