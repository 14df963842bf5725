package bencher

func writePages(Batch, []Results) error { return nil }
