@NullMarked
package org.lupinpaddle.daemon.port;

import org.jspecify.annotations.NullMarked;
