/** The platform as the daemon sees it: one narrow interface and one adapter. */
@NullMarked
package org.lupinpaddle.daemon.platform;

import org.jspecify.annotations.NullMarked;
