/** One service: its availability budget and the ledger of instances that are out on purpose. */
@NullMarked
package org.lupinpaddle.core.service;

import org.jspecify.annotations.NullMarked;
