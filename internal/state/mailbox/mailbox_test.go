package mailbox_test

import (
	"context"
	"fmt"
	"time"

	"github.com/mimosaspring/mimosaspring/internal/state/mailbox"
)

func ExampleMailbox() {
	box := mailbox.New[string](1)
	fmt.Println(box.TrySend("first"), box.TrySend("second"), box.DroppedCount())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	fmt.Println(box.Send(ctx, "third"))
	fmt.Println(<-box.Messages())
	// Output:
	// true false 1
	// context deadline exceeded
	// first
}
