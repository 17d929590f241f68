/** Connects the slot logic of the core to the other entries: encodes, sends and receives its messages. */
@NullMarked
package org.lupinpaddle.daemon.slot;

import org.jspecify.annotations.NullMarked;
