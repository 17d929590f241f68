@NullMarked
package org.lupinpaddle.core.ownership;

import org.jspecify.annotations.NullMarked;
