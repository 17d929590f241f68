@NullMarked
package org.lupinpaddle.core.upkeep;

import org.jspecify.annotations.NullMarked;
