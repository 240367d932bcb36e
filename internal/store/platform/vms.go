package platform

import (
	"context"
	"encoding/json"
)

// TableVMs is the table that holds the list of VMs, one row for each VM. The key
// is the VM's name.
const TableVMs = "vms"

// vmList implements VMList by a table.
type vmList struct {
	table Table
}

// NewVMList returns the list of VMs that table holds.
func NewVMList(table Table) VMList { return vmList{table} }

// List implements VMList. It returns an error if an entry can't be decoded. A
// list without the entry would mean that the VM was removed, and its engine
// would receive no more requests.
func (l vmList) List(ctx context.Context) ([]VM, error) {
	rows, err := l.table.Scan(ctx, UseVMs, TableVMs, "", "", MaxScanRows)
	if err != nil {
		return nil, err
	}
	vms := make([]VM, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &vms[i]); err != nil {
			return nil, ErrUnavailable.New("VM entry %s: %v", row.Key, err)
		}
	}
	return vms, nil
}

// PutVM adds or replaces an entry of the list of VMs. Errors: those of Table.Commit.
func PutVM(ctx context.Context, table Table, vm VM) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return ErrInvalid.Wrap(err)
	}
	_, err = table.Commit(ctx, UseVMs, Write{Table: TableVMs, Key: vm.Name, Value: value, IfVersion: AnyVersion})
	return err
}

// DeleteVM removes an entry of the list of VMs. Errors: those of Table.Commit.
func DeleteVM(ctx context.Context, table Table, name string) error {
	_, err := table.Commit(ctx, UseVMs, Write{Table: TableVMs, Key: name, Delete: true, IfVersion: AnyVersion})
	return err
}
