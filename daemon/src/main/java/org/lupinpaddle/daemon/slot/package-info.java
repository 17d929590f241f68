/** Carries the slots' decisions between entries. */
@NullMarked
package org.lupinpaddle.daemon.slot;

import org.jspecify.annotations.NullMarked;
