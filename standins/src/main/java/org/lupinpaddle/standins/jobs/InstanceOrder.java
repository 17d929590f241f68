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
package org.lupinpaddle.standins.jobs;

/**
 * An order for an instance that the platform stand-in has answered, whether it executed the order or refused it.
 *
 * @param instance the ordered instance
 * @param holder the entry that sent the order, as stated by it
 * @param fence the fencing token of the order
 * @param atMillis when it was executed, in milliseconds of the monotonic clock
 */
public record InstanceOrder(String instance, String holder, long fence, long atMillis) {}
