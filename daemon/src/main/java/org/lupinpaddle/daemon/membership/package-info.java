/** Membership of the entries: registration in the store and tracking of the peers by their heartbeats. */
@NullMarked
package org.lupinpaddle.daemon.membership;

import org.jspecify.annotations.NullMarked;
