/** What every part of the daemon shares: the event loop, the log line, metrics and traces. */
@NullMarked
package org.lupinpaddle.daemon.common;

import org.jspecify.annotations.NullMarked;
