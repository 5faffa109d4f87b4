package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/banyanroute/banyanroute/internal/platform"
)

// Keys and key prefixes of the catalogue's rows in the platform's table. The head
// row holds the current revision and digest. There is a row for each entry, for
// each change by its revision, and for each edit ID, which refers to the change.
const (
	headRow      = "catalogue/head"
	entryPrefix  = "catalogue/entry/"
	editPrefix   = "catalogue/edit/"
	editIDPrefix = "catalogue/edit-id/"
)

// Maximum numbers of rows per call.
const (
	scanLimit = 500
	readLimit = 256
)

// head is the value of the head row.
type head struct {
	Revision Revision `json:"revision"`
	Digest   Digest   `json:"digest,string"`
}

// editIDValue is the value of an edit ID's row; it refers to the row of the
// change.
type editIDValue struct {
	Revision Revision `json:"revision"`
}

func entryRow(key Key) string { return entryPrefix + key.String() }

// editRow returns the key of a change's row. It pads the revision with zeros,
// so that the rows sort by revision.
func editRow(rev Revision) string { return fmt.Sprintf("%s%020d", editPrefix, uint64(rev)) }

func editIDRow(editID string) string { return editIDPrefix + editID }

// readHead returns the head and the version of its row.
func readHead(ctx context.Context, table platform.Table) (head, platform.Version, error) {
	rows, err := table.Read(ctx, headRow)
	if err != nil {
		return head{}, 0, err
	}
	return decodeHead(rows[0])
}

func decodeHead(row platform.Row) (head, platform.Version, error) {
	var h head
	if row.Version == 0 {
		return h, 0, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, fmt.Errorf("decoding %s: %w", headRow, err)
	}
	return h, row.Version, nil
}

// readChanges returns the changes from first to last, both included.
func readChanges(ctx context.Context, table platform.Table, first, last Revision) ([]Change, error) {
	var changes []Change
	for first <= last {
		upTo := min(last, first+readLimit-1)
		part, err := readChangePage(ctx, table, first, upTo)
		if err != nil {
			return nil, err
		}
		changes = append(changes, part...)
		first = upTo + 1
	}
	return changes, nil
}

func readChangePage(ctx context.Context, table platform.Table, first, last Revision) ([]Change, error) {
	keys := make([]string, 0, last-first+1)
	for rev := first; rev <= last; rev++ {
		keys = append(keys, editRow(rev))
	}
	rows, err := table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func decodeChange(row platform.Row) (Change, error) {
	var c Change
	if row.Version == 0 {
		return c, fmt.Errorf("row %s is missing", row.Key)
	}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, fmt.Errorf("decoding %s: %w", row.Key, err)
	}
	if editRow(c.Revision) != row.Key {
		return c, fmt.Errorf("row %s holds revision %d", row.Key, c.Revision)
	}
	return c, c.decode()
}

// scanRecords returns all entry rows. A change that is committed during the
// scan may be visible in some of them only.
func scanRecords(ctx context.Context, table platform.Table) (map[Key]*Record, error) {
	records := map[Key]*Record{}
	after := ""
	for {
		rows, err := table.Scan(ctx, entryPrefix, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if err := addRecord(records, row); err != nil {
				return nil, err
			}
		}
		if len(rows) < scanLimit {
			return records, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func addRecord(records map[Key]*Record, row platform.Row) error {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decoding %s: %w", row.Key, err)
	}
	if err := r.decode(); err != nil {
		return fmt.Errorf("decoding %s: %w", row.Key, err)
	}
	if name := strings.TrimPrefix(row.Key, entryPrefix); r.Entry.Key().String() != name {
		return fmt.Errorf("row %s holds entry %s", row.Key, r.Entry.Key())
	}
	records[r.Entry.Key()] = &r
	return nil
}
