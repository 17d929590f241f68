/** The callers' listener, and each request's way to a worker and back. */
@NullMarked
package org.lupinpaddle.daemon.caller;

import org.jspecify.annotations.NullMarked;
