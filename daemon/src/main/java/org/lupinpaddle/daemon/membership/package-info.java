/** Who the other entries are: registration in the store and what their heartbeats say. */
@NullMarked
package org.lupinpaddle.daemon.membership;

import org.jspecify.annotations.NullMarked;
