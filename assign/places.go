package assign

// Locate returns the service and the availability zone of an endpoint. It returns false if it is not known.
func (f *Fleet) Locate(name string) (service, zone string, known bool) {
	m := f.members[name]
	if m == nil {
		return "", "", false
	}
	return m.Service, m.Zone, true
}

// ZonesOf returns the availability zones that have endpoints of a service.
func (f *Fleet) ZonesOf(service string) map[string]bool {
	zones := map[string]bool{}
	for _, m := range f.members {
		if m.Service == service {
			zones[m.Zone] = true
		}
	}
	return zones
}
