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
package org.lupinpaddle.core.run;

import java.util.Map;

/**
 * The workers that may run a step.
 *
 * @param ticketByWorker the permitted workers, each with the ticket that a start there must carry
 * @param validMillis how long the tickets are valid, in milliseconds
 */
public record AdviceResponse(Map<String, String> ticketByWorker, long validMillis) {}
