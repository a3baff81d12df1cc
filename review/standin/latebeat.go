package main

func playLateBeat(e *env) (int, error) { return 0, nil }
