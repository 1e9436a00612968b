package intake

// firstBytes is the room that a body begins with.
const firstBytes = 4 << 10

// NextSize returns the room to ask for once a body has filled what it has, in bytes. length is the body's announced length, or -1; limit is the most
// that it may have. What it returns is larger than size, unless size has reached the length or the limit.
func NextSize(size, length, limit int64) int64 {
	end := limit
	if length >= 0 && length < limit {
		end = length
	}
	next := max(firstBytes, 2*size)
	if next > SmallBytes && length >= 0 {
		next = end // a body that is no longer small gets the rest at once
	}
	return min(next, end)
}
