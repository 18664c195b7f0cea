package limits

import "golang.org/x/sys/unix"

// systemBytes returns the memory of the machine, or 0 if it is not known.
func systemBytes() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram * uint64(info.Unit))
}
