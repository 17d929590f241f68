@NullMarked
package org.lupinpaddle.core.placement;

import org.jspecify.annotations.NullMarked;
