/** The HTTP server for callers and the forwarding of their requests to workers. */
@NullMarked
package org.lupinpaddle.daemon.caller;

import org.jspecify.annotations.NullMarked;
