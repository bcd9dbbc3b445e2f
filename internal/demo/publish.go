package demo

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
)

// publishExamples appends the example records of the deployment to the log.
func (d *Demo) publishExamples(ctx context.Context) error {
	records, err := d.bed.Profile.Records()
	if err != nil {
		return err
	}
	if _, err := d.bed.Log.Append(ctx, fleetconfig.StreamName, records); err != nil {
		return eris.Wrap(err, "publish the example records")
	}
	return nil
}
