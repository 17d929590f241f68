/** Messages between entries, over Netty with protobuf. */
@NullMarked
package org.lupinpaddle.daemon.peer;

import org.jspecify.annotations.NullMarked;
