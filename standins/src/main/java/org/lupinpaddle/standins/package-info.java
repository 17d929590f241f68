/** Stand-ins for the outside systems: the platform and a worker. For tests and the demo only. */
@NullMarked
package org.lupinpaddle.standins;

import org.jspecify.annotations.NullMarked;
