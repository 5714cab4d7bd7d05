"""Captures log lines for scenarios; logging is otherwise disabled during the tests."""

import logging

__all__ = ["LogLines"]


class LogLines(logging.Handler):
    """A context manager that collects the lines of a logger from `level` on."""

    def __init__(self, name, level=logging.INFO):
        super().__init__(level)
        self.texts = []
        self._logger = logging.getLogger(name)

    def emit(self, record):
        self.texts.append(record.getMessage())

    def __enter__(self):
        self._disabled, self._level = logging.root.manager.disable, self._logger.level
        logging.disable(logging.NOTSET)
        self._logger.setLevel(self.level)
        self._logger.addHandler(self)
        return self.texts

    def __exit__(self, *_):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._level)
        logging.disable(self._disabled)
