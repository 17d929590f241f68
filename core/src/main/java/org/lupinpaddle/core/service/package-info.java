/** Services: availability budgets, members, and permits for instances that are out on purpose. */
@NullMarked
package org.lupinpaddle.core.service;

import org.jspecify.annotations.NullMarked;
