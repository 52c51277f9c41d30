"""Amounts of processors, memory and accelerators."""

from dataclasses import dataclass

from ..schema import resources_pb2


@dataclass(frozen=True, slots=True)
class Amounts:
    """Amounts of processors in millicores, memory in megabytes, and accelerators."""

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> "Amounts":
        return Amounts(self.processors * count, self.memory_mb * count, self.accelerators * count)

    def fits_in(self, available: "Amounts") -> bool:
        """Return whether no amount exceeds the available one."""
        return (
            self.processors <= available.processors
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def get_elementwise_max(self, other: "Amounts") -> "Amounts":
        """Return the element-wise maximum of two amounts."""
        return Amounts(
            max(self.processors, other.processors),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def get_elementwise_min(self, other: "Amounts") -> "Amounts":
        """Return the element-wise minimum of two amounts."""
        return Amounts(
            min(self.processors, other.processors),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def to_message(self) -> resources_pb2.Resources:
        """Return the amounts as a message, with negative amounts set to zero."""
        return resources_pb2.Resources(
            processors=max(0, self.processors),
            memory_mb=max(0, self.memory_mb),
            accelerators=max(0, self.accelerators),
        )

    def __str__(self) -> str:
        text = f"{self.processors} millicores, {self.memory_mb} MB"
        return f"{text}, {self.accelerators} accelerators" if self.accelerators else text


NO_RESOURCES = Amounts()


def make_amounts(message: resources_pb2.Resources) -> Amounts:
    """Return the amounts of a message."""
    return Amounts(message.processors, message.memory_mb, message.accelerators)
