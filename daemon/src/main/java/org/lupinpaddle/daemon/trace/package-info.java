/** A span for each hop of a request, readable by the request's id. */
@NullMarked
package org.lupinpaddle.daemon.trace;

import org.jspecify.annotations.NullMarked;
