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
package org.lupinpaddle.daemon.slot;

/** Who grants a worker's slots. */
enum SimPolicy {
    /** One owner for each service in the region; its queue orders all entries' asks. What the product does. */
    REGION_OWNER,
    /** One owner for each service in each data hall, for that hall's workers and entries alone. */
    HALL_OWNERS,
    /** No owner: each entry takes the less busy of two workers by its own count, and queues by itself. */
    TWO_CHOICES
}
