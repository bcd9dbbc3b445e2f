package overload

// FloorCount returns the number of workspaces, routes and sizes that are tracked.
func (d *DelayShare) FloorCount() int { return len(d.floors) }
