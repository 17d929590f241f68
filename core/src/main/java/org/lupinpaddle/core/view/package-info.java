/** What one entry knows of the configuration, at one revision. */
@NullMarked
package org.lupinpaddle.core.view;

import org.jspecify.annotations.NullMarked;
