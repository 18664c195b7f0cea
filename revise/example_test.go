package revise_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"

	"filberthold/fakes"
	"filberthold/revise"
	"filberthold/store"
)

func ExampleAccept() {
	server := httptest.NewServer(fakes.NewPlatform())
	defer server.Close()
	client := store.NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	ctx := context.Background()

	first, err := revise.Accept(ctx, client, 0, []byte("name = 'guild'\n"))
	fmt.Println(first.Number(), err)
	second, err := revise.Accept(ctx, client, 1, []byte("name = 'guild'\ndelays.toClients = '8ms'\n"))
	fmt.Println(second.Number(), err)
	_, err = revise.Accept(ctx, client, 1, []byte("name = 'guild'\ndelays.toClients = '9ms'\n"))
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// 2 <nil>
	// revision 2@fe670e709b6d was accepted on revision 1 before this change; differing keys: 1; delays.toClients: accepted "8ms", refused "9ms"
}
