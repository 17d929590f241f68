/** Shared basics: clock, verdicts, urgency classes, record codec, store keys and hashing. */
@NullMarked
package org.lupinpaddle.core.common;

import org.jspecify.annotations.NullMarked;
