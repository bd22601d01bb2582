package model

// maxNameLength is the maximum length of names of teams, queues, services, regions and
// processes, in bytes.
const maxNameLength = 63

// ValidName reports whether s is a valid name of a team, queue, service, region or
// process: 1 to 63 ASCII letters, digits, '-', '_' or '.', beginning with a
// letter or digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !isLabelByte(c) || c == '/' {
			return false
		}
		if i == 0 && (c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return true
}

// Maximum lengths of labels, in bytes.
const (
	maxLabelKeyLength   = 253
	maxLabelValueLength = 63
)

// ValidLabel reports whether key=value is a valid label: both contain only characters
// that are allowed in selectors, and the key is not empty.
func ValidLabel(key, value string) bool {
	if key == "" || len(key) > maxLabelKeyLength || len(value) > maxLabelValueLength {
		return false
	}
	return onlyLabelBytes(key) && onlyLabelBytes(value)
}

func onlyLabelBytes(s string) bool {
	for i := range len(s) {
		if !isLabelByte(s[i]) {
			return false
		}
	}
	return true
}
