package store

// Bounds of one transaction, as the platform publishes them.
const (
	// MaxTransactionOperations is how many operations one transaction may hold.
	MaxTransactionOperations = 64
	// MaxTransactionBytes bounds the encoded size of one transaction.
	MaxTransactionBytes = 512 << 10
	// MaxValueBytes bounds one value, leaving room for its encoding in a transaction.
	MaxValueBytes = 360 << 10
)

// operationOverheadBytes is allowed for the field names around one operation.
const operationOverheadBytes = 128

// EncodedSize estimates how many bytes the operation takes in an encoded
// transaction, in which values are written in base64. It is never too low.
func (o Operation) EncodedSize() int {
	const base64Numerator, base64Denominator = 4, 3
	value := (len(o.Value) + base64Denominator - 1) / base64Denominator * base64Numerator
	return operationOverheadBytes + len(o.Key) + value
}

// CheckTransactionSize returns ErrTooLarge unless the operations fit into one transaction.
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
