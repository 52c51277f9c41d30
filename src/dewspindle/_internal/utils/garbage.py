"""Settings of the garbage collector for programs that answer requests from one event loop."""

import gc

# Collections of the youngest objects after so many that were made and not freed; of older ones
# after so many collections of younger ones. Reference counts free nearly all, but a full collection
# looks at every object and stalls the event loop meanwhile.
YOUNG_THRESHOLD = 3000
MIDDLE_THRESHOLD = 5
FULL_THRESHOLD = 50


def limit_collections() -> None:
    """Make full collections rare, and leave out the objects that were made so far."""
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, FULL_THRESHOLD)
