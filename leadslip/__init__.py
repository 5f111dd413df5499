"""leadslip, a signalling proxy."""

__version__ = "0.1.0"
