package snapshot

// dictionaryID identifies the dictionary inside each payload. Nodes of different
// program versions exchange payloads, so the content behind an identifier never
// changes: other content gets a new identifier, which decompressors must know one
// release before compressors use it.
const dictionaryID = 1

// dictionary is text that payloads have in common, the most frequent last. Most
// payloads hold one or two resources, too few for a compressor to find repetition
// in.
const dictionary = `{"removed":[{"kind":"Secret","name":"},{"kind":"Service","name":"},{"kind":"Route","name":"}]}` +
	`{"upserts":[{"key":{"kind":"Secret","name":"-token"},"secret":{"value":"Bearer Basic "}},` +
	`"path":"/","methods":["GET","HEAD","POST","PUT","PATCH","DELETE"],"repeatable":"always","priority":"low","priority":"high",` +
	`"timeout":5000000000,"timeout":10000000000,"timeout":60000000000,"slowStart":10000000000,"slowStart":30000000000,` +
	`"credential":{"secret":"-token","header":"X-Api-Key"}}},` +
	`{"key":{"kind":"Route","name":"api-"},"route":{"match":{"host":"*.example","pathPrefix":"/api/","methods":["GET","POST"]},"service":"api-",` +
	`"repeatable":"never","priority":"normal","timeout":10000000000,"credential":{"secret":"","header":"Authorization"}}},` +
	`{"key":{"kind":"Route","name":"service-"},"route":{"match":{"host":"*","pathPrefix":"/"},"service":"service-",` +
	`"repeatable":"safe-methods","priority":"normal","timeout":0}},` +
	`{"key":{"kind":"Service","name":"service-"},"service":{"calls":[],"slots":6,"connections":130,"queue":12,"slowStart":20000000000,"timeout":30000000000}},` +
	`{"upserts":[{"key":{"kind":"Service","name":"service-"},"service":{"calls":null,"slots":6,"connections":130,"queue":0,"slowStart":0,"timeout":0}}]}`
