package examples

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Ports of the processes on a VM, and the lowest host number, the last byte of the
// address, of each kind of VM.
const (
	callerPort   = 8080
	controlPort  = 7000
	sidecarPort  = 7100
	endpointPort = 9000
	operatorPort = 9100

	entryHost    = 1
	controlHost  = 11
	endpointHost = 21
)

const (
	keysFolder    = "keys"
	dataFolder    = "data"
	bootstrapFile = "bootstrap.json"
	operatorName  = "operator"
	operatorFile  = "rosemaryctl.json"

	folderMode = 0o755
	fileMode   = 0o644
)

// File is a file of a deployment's folder.
type File struct {
	// Name is the file's name in the folder.
	Name string
	// Data is the content.
	Data []byte
}

// process describes a process of the deployment.
type process struct {
	name string
	// role is the role of the process in TLS; empty for a stand-in, which has no TLS
	// identity.
	role wire.Role
	// zone is the index of the zone in Deployment.Zones.
	zone int
	// plugin is the ID of the plug-in that the process runs.
	plugin string
	// operator is the address where the process serves its metrics; empty for none.
	operator string
	// settings are those of the plug-in, by JSON name.
	settings map[string]any
}

// Files returns the settings of every process, the initial configuration and the
// settings of rosemaryctl. Paths in them are relative to the deployment's folder.
func (d *Deployment) Files() ([]File, error) {
	bootstrap, err := encode(bootstrapFile, d.Document())
	if err != nil {
		return nil, err
	}
	client, err := encode(operatorFile, map[string]any{"control": d.controlAddrs(), "tls": identity(operatorName)})
	if err != nil {
		return nil, err
	}
	files := []File{bootstrap, client}
	for _, p := range d.processes() {
		f, err := d.file(p)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// file returns the settings file of a process.
func (d *Deployment) file(p process) (File, error) {
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return File{}, errors.Wrapf(err, "encode settings of %s", p.name)
	}
	f := &settings.File{
		Node:     settings.Node{Name: p.name, Region: d.Region, Zone: d.Zones[p.zone]},
		Log:      settings.Log{Level: "info"},
		Operator: settings.Addr(p.operator),
		Plugins:  map[string]json.RawMessage{p.plugin: raw},
	}
	if p.role != "" {
		f.TLS = identity(p.name)
	}
	for _, zone := range d.Zones {
		f.Zones = append(f.Zones, settings.Zone{Region: d.Region, Name: zone})
	}
	return encode(p.name+".json", f)
}

// encode returns a file with v as indented JSON.
func encode(name string, v any) (File, error) {
	raw, err := json.MarshalIndent(v, "", "  ")
	return File{Name: name, Data: append(raw, '\n')}, errors.Wrapf(err, "encode %s", name)
}

// identity returns the TLS settings of the process with the given name.
func identity(name string) *settings.TLS {
	return &settings.TLS{
		CA:   filepath.Join(keysFolder, "ca.pem"),
		Cert: filepath.Join(keysFolder, name+".pem"),
		Key:  filepath.Join(keysFolder, name+".key"),
	}
}

// processes returns all processes: control replicas, entries, and then the sidecars and
// stand-ins of the endpoints.
func (d *Deployment) processes() []process {
	var list []process
	for i := range d.Replicas {
		list = append(list, d.replica(i))
	}
	for i := range d.Entries {
		list = append(list, d.entry(i))
	}
	hosts := make([]int, len(d.Zones))
	for _, f := range d.Fleets {
		for i := range f.Count {
			zone := i % len(d.Zones)
			list = append(list, d.endpoint(f, i, zone, endpointHost+hosts[zone])...)
			hosts[zone]++
		}
	}
	return list
}

// controlAddrs returns the addresses of the control replicas.
func (d *Deployment) controlAddrs() []string {
	addrs := make([]string, d.Replicas)
	for i := range addrs {
		addrs[i] = d.address(i%len(d.Zones), controlHost+i/len(d.Zones), controlPort)
	}
	return addrs
}

// replica returns the process of control replica i, counted from 0.
func (d *Deployment) replica(i int) process {
	zone, host := i%len(d.Zones), controlHost+i/len(d.Zones)
	replicas := map[string]string{}
	for j, addr := range d.controlAddrs() {
		replicas[fmt.Sprint(j+1)] = addr
	}
	name := fmt.Sprintf("control-%d", i+1)
	return process{
		name: name, role: wire.RoleControl, zone: zone, plugin: "control",
		operator: d.address(zone, host, operatorPort),
		settings: map[string]any{
			"listen":    d.address(zone, host, controlPort),
			"id":        i + 1,
			"replicas":  replicas,
			"data":      filepath.Join(dataFolder, name),
			"bootstrap": bootstrapFile,
		},
	}
}

// entry returns the process of entry i, counted from 0.
func (d *Deployment) entry(i int) process {
	zone, host := i%len(d.Zones), entryHost+i/len(d.Zones)
	return process{
		name: fmt.Sprintf("entry-%d", i+1), role: wire.RoleEntry, zone: zone, plugin: "entry",
		operator: d.address(zone, host, operatorPort),
		settings: map[string]any{
			"listen":  d.address(zone, host, callerPort),
			"control": d.controlAddrs(),
		},
	}
}

// endpoint returns the processes of endpoint i of a fleet, counted from 0: the sidecar,
// and the stand-in of the engine or application worker.
func (d *Deployment) endpoint(f Fleet, i, zone, host int) []process {
	name := fmt.Sprintf("%s-%d", f.Prefix, i+1)
	addr := d.address(zone, host, endpointPort)
	sidecar := process{
		name: name, role: wire.RoleSidecar, zone: zone, plugin: "sidecar",
		operator: d.address(zone, host, operatorPort),
		settings: map[string]any{
			"listen":   d.address(zone, host, sidecarPort),
			"control":  d.controlAddrs(),
			"endpoint": "http://" + addr,
			"target":   f.Target,
			"service":  f.Service,
		},
	}
	standIn := process{name: name + "-standin", zone: zone, plugin: "standin.worker", settings: map[string]any{"listen": addr}}
	if !f.Service {
		standIn.plugin = "standin.engine"
		standIn.settings["model"] = f.Target
		standIn.settings["kv_tokens"] = engineKVTokens
	}
	return []process{sidecar, standIn}
}

// Write writes the files and keys of the deployment to the folder dir. It keeps keys
// that exist, and overwrites other files.
func (d *Deployment) Write(dir string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.Wrap(err, "make folder of the deployment")
	}
	files, err := d.Files()
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.Name), f.Data, fileMode); err != nil {
			return errors.Wrap(err, "write file of the deployment")
		}
	}
	return d.writeKeys(filepath.Join(dir, keysFolder))
}

// writeKeys issues the missing keys of the processes and of the operator in dir.
func (d *Deployment) writeKeys(dir string) error {
	authority, err := openAuthority(dir)
	if err != nil {
		return err
	}
	if err := issueMissing(authority, dir, operatorName, wire.RoleOperator); err != nil {
		return err
	}
	for _, p := range d.processes() {
		if p.role == "" {
			continue
		}
		if err := issueMissing(authority, dir, p.name, p.role); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority opens the certificate authority in dir. It creates one if both its
// certificate and its key are missing.
func openAuthority(dir string) (*wire.Authority, error) {
	if missing(filepath.Join(dir, "ca.pem")) && missing(filepath.Join(dir, "ca.key")) {
		return wire.NewAuthority(dir)
	}
	return wire.OpenAuthority(dir)
}

// issueMissing issues a certificate and key, unless dir has a certificate of this name.
func issueMissing(a *wire.Authority, dir, name string, role wire.Role) error {
	if !missing(filepath.Join(dir, name+".pem")) {
		return nil
	}
	_, err := a.Issue(dir, name, role)
	return err
}

// missing reports whether no file of this name exists.
func missing(name string) bool {
	_, err := os.Lstat(name)
	return os.IsNotExist(err)
}
