@NullMarked
package org.lupinpaddle.core.fleet;

import org.jspecify.annotations.NullMarked;
