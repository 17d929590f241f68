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
 * What has changed under a prefix.
 *
 * @param changes the changes, oldest first
 * @param revision from where the next watch goes on
 */
public record StoreChanges(List<Change> changes, long revision) {

    /**
     * One change.
     *
     * @param key the key
     * @param item the item as it was written; null when it has gone
     */
    public record Change(String key, @Nullable StoreItem item) {}
}
