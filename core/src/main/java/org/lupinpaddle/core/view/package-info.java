/** An entry's view of the configuration at one store revision. */
@NullMarked
package org.lupinpaddle.core.view;

import org.jspecify.annotations.NullMarked;
