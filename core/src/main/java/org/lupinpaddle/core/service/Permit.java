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
package org.lupinpaddle.core.service;

/**
 * Permission for one instance to be out of its service on purpose.
 *
 * <p>A permit is used once: the instance's own record names the permit that it has spent, in the write that
 * brings the instance back or declines to drain it. Only a spent permit may be removed, and no instance is
 * drained on a spent permit. A driver with a stale view therefore can not drain an instance on a permit that
 * another driver removes at the same moment.
 *
 * @param id unique among all permits
 * @param instance the id of the instance
 * @param wave the wave that drains the instance
 * @param incarnation the incarnation that may be drained and rebooted
 */
public record Permit(String id, String instance, String wave, long incarnation) {}
