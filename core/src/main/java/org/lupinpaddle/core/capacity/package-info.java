@NullMarked
package org.lupinpaddle.core.capacity;

import org.jspecify.annotations.NullMarked;
