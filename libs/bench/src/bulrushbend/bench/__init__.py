"""Benchmarks: policy simulations, cost measurements, sweeps and plots."""
