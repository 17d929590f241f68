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

/** Policies for granting the slots of workers. */
enum SimPolicy {
    /** One owner per service and region, whose queue orders the asks of all entries. This is the implemented policy. */
    REGION_OWNER,
    /** One owner per service and data hall, only for the workers and entries of that hall. */
    HALL_OWNERS,
    /** No owner: each entry picks the less busy of two random workers by its own count and has its own queue. */
    TWO_CHOICES
}
