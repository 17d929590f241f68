/** Grants the slots of a service's workers: permission to send a request to a worker. */
@NullMarked
package org.lupinpaddle.core.slot;

import org.jspecify.annotations.NullMarked;
