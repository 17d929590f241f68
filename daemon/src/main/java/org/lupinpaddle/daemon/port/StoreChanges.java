/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.port;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The changes under a prefix that a watch returns.
 *
 * @param changes the changes, oldest first
 * @param revision the revision from which the next watch continues
 */
public record StoreChanges(List<Change> changes, long revision) {

    /**
     * A change to one key.
     *
     * @param key the key
     * @param item the item as written; null if it was removed
     */
    public record Change(String key, @Nullable StoreItem item) {}
}
