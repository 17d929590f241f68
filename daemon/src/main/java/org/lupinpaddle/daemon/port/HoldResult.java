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

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.run.HoldResponse;
import org.lupinpaddle.core.run.OrderOutcome;

/**
 * The result of a hold order.
 *
 * @param outcome whether the worker accepted the order
 * @param answer the worker's answer; null unless the order was accepted
 */
public record HoldResult(OrderOutcome outcome, @Nullable HoldResponse answer) {}
