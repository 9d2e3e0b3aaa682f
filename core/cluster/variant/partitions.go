package variant

import "slices"

// Partitions returns into how many modules the objects should be divided when several goroutines ask at once. Each
// module has a lock of its own, so that they rarely contend. The result is 1 if any service has a presumption,
// which counts the objects of a whole group, and if there are few objects.
func Partitions(s *Settings) int {
	if s.MaxObjects < minPartitionObjects<<partitionBits || s.MaxObjects > MaxObjects || slices.ContainsFunc(s.Services, func(v Service) bool { return v.Presumption != nil }) {
		return 1
	}
	return 1 << partitionBits
}

// PartitionOf returns the partition of an object by its number; partitions is the result of Partitions.
func PartitionOf(number uint64, partitions int) int {
	if partitions == 1 {
		return 0
	}
	return int(number * 0x9e3779b97f4a7c15 >> (64 - partitionBits)) // Knuth's multiplicative hash spreads neighboring numbers
}
