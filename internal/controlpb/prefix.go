package controlpb

// rootPrefix goes before the paths of all messages of a mesh without a name.
const rootPrefix = "/twirp"

// PathPrefix returns what goes before the paths of all messages of a mesh, so
// that nodes of different meshes do not understand each other. It is written
// once for each connection, because HTTP/2 remembers it.
func PathPrefix(mesh string) string {
	if mesh == "" {
		return rootPrefix
	}
	return rootPrefix + "/" + mesh
}
