package platform

import (
	"context"
	"encoding/json"
)

// TableVMs is the table that lists VMs, a row each by name.
const TableVMs = "vms"

// vmList is the list of VMs in a table.
type vmList struct {
	table Table
}

// NewVMList returns the list of VMs that a table service holds.
func NewVMList(table Table) VMList { return vmList{table} }

// List implements VMList. An entry that can't be read is an error, not a list
// without it: that would read as "the VM is gone", and its engine would get no
// more requests.
func (l vmList) List(ctx context.Context) ([]VM, error) {
	rows, err := l.table.Scan(ctx, UseVMs, TableVMs, "", "", MaxScanRows)
	if err != nil {
		return nil, err
	}
	vms := make([]VM, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &vms[i]); err != nil {
			return nil, ErrUnavailable.New("entry %s: %v", row.Key, err)
		}
	}
	return vms, nil
}

// PutVM adds or replaces an entry of the list. Errors: those of Table.Commit.
func PutVM(ctx context.Context, table Table, vm VM) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	_, err = table.Commit(ctx, UseVMs, Write{Table: TableVMs, Key: vm.Name, Value: value, IfVersion: AnyVersion})
	return err
}

// DeleteVM removes an entry of the list. Errors: those of Table.Commit.
func DeleteVM(ctx context.Context, table Table, name string) error {
	_, err := table.Commit(ctx, UseVMs, Write{Table: TableVMs, Key: name, Delete: true, IfVersion: AnyVersion})
	return err
}
