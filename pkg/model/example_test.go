package model_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
)

func ExampleEncode() {
	secret := model.Resource{
		Key:    model.Key{Kind: model.KindSecret, Name: "token"},
		Secret: &model.Secret{Value: "hush"},
	}
	encoded, digest := model.Encode(secret)
	decoded, err := model.Decode(encoded)
	fmt.Println(decoded.Key, err)
	fmt.Println(digest.String()[:8])
	fmt.Println(*decoded.Secret)
	// Output:
	// Secret/token <nil>
	// 6f12e31f
	// [redacted]
}
